// Every seventh response is truncated halfway.
fleet(#{ gateways: 36 });
let servers = pick_servers("reading", 8);
faults(servers, #{ truncate_every: 7 });
load(#{ rate: 250.0, bytes: 60000 });
load(#{ rate: 80.0, writes: true, repeats: 2, over_ms: 400.0, bytes: 30000 });
wait(5);
end_loads();
expect_told("ran", 500);
faults(servers, #{});
check();
