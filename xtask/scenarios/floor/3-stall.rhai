// Four of eight servers of each failure domain stall for 3 s while they still respond to probes.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 900.0, work_ms: 60 });
watch_floor(0.0);
wait(1);
let servers = pick_servers("reading", 4);
faults(servers, #{ stall: true });
wait(3);
faults(servers, #{});
wait(4);
check();
