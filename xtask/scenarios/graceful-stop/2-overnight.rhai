// Gateways are stopped while overnight submissions are in flight, which run 9 s longer.
fleet(#{ gateways: 36 });
let chosen = pick(2);
load(#{ rate: 10.0, writes: true, path: "/submissions/overnight/", work_ms: 10000, limit_s: 30, count: 4, via: chosen });
load(#{ rate: 100.0 });
wait(1);
stop(chosen);
stopped(chosen, 20);
end_loads();
expect_told("ran", 300);
check();
restart(chosen);
