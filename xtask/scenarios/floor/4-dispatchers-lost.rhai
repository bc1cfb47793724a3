// Eight gateways are killed, so that shards get new dispatchers, while three servers of each failure domain flap.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 900.0, work_ms: 60 });
wait(1);
let servers = pick_servers("reading", 3);
let killed = pick(8);
kill(killed);
// A gateway is unreachable after 3 s, and its peers report it in their next heartbeat, up to 1.3 s later.
wait(4.3);
watch_floor(0.0);
faults(servers, #{ stall: true, flap: #{ period_ms: 800, duty: 0.5 } });
wait(3);
faults(servers, #{});
wait(2);
check();
restart(killed);
