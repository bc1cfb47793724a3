// Five of eight servers of each failure domain truncate their responses for 4 s, then recover.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 900.0, work_ms: 60, via: pick(6) });
watch_floor(0.0);
wait(1);
let servers = pick_servers("reading", 5);
faults(servers, #{ truncate_every: 1 });
wait(4);
faults(servers, #{});
wait(4);
check();
