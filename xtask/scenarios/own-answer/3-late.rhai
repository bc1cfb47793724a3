// Responses arrive after the deadline and out of order, and callers time out before them.
fleet(#{ gateways: 36 });
let servers = pick_servers("reading", 8);
faults(servers, #{ late_every: 9, late_ms: 2300 });
load(#{ rate: 250.0, bytes: 20000 });
load(#{ rate: 60.0, bytes: 20000, limit_s: 1 });
load(#{ rate: 80.0, writes: true, repeats: 2, over_ms: 400.0 });
wait(5);
end_loads();
expect_told("ran", 500);
faults(servers, #{});
check();
