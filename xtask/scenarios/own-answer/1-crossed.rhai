// Every fifth response carries the id and the body of the previous response.
fleet(#{ gateways: 36 });
established();
load(#{ rate: 250.0, bytes: 20000 });
load(#{ rate: 80.0, writes: true, repeats: 2, over_ms: 400.0 });
wait(1);
faults(pick_servers("reading", 4), #{ cross_every: 5 });
wait(5);
end_loads();
expect_told("ran", 500);
check();
