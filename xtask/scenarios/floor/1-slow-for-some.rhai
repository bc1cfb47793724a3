// The rate doubles every other second and three servers of each failure domain are slow for 4 of 40 callers; none may be ejected.
fleet(#{ gateways: 36, cuts: true });
wait(2);
load(#{ rate: 300.0, work_ms: 40, swing: 2.0 });
wait(11);
watch_floor(1.0);
let servers = pick_servers("reading", 3);
let callers = ["caller-1", "caller-2", "caller-3", "caller-4"];
mild_faults(servers, #{ slow_callers: callers, slow_some_factor: 6.0 });
wait(5);
mild_faults(servers, #{});
check();
