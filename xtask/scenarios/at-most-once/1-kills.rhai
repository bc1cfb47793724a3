// Four gateways are killed, two restarted and two replaced while writes with and without a key are submitted twice.
fleet(#{ gateways: 36, window_s: 12, cuts: true });
established();
load(#{ rate: 300.0, writes: true, repeats: 2, over_ms: 400.0 });
load(#{ rate: 60.0, presses: true, repeats: 2, over_ms: 60.0, work_ms: 30 });
wait(1);
let killed = pick(4);
kill(killed);
wait(3);
replace(killed.extract(0, 2));
restart(killed.extract(2, 2));
wait(2);
end_loads();
expect_told("ran", 1000);
check();
