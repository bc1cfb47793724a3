// Four gateways are frozen longer than every lease and resume with stale state.
fleet(#{ gateways: 36, window_s: 12, cuts: true });
load(#{ rate: 300.0, writes: true, repeats: 3, over_ms: 800.0, limit_s: 9 });
load(#{ rate: 60.0, presses: true, repeats: 2, over_ms: 60.0, work_ms: 30 });
wait(1);
let frozen = pick(4);
freeze(frozen);
wait(7);
thaw(frozen);
wait(2);
end_loads();
expect_told("ran", 1000);
check();
