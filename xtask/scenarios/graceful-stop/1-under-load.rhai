// Six of 36 gateways are stopped under a load of reads and writes that take 400 ms.
fleet(#{ gateways: 36 });
established();
load(#{ rate: 120.0, work_ms: 400 });
load(#{ rate: 60.0, writes: true, work_ms: 400 });
wait(1);
let chosen = pick(6);
stop(chosen);
stopped(chosen, 10);
wait(1);
end_loads();
expect_told("ran", 300);
check();
restart(chosen);
