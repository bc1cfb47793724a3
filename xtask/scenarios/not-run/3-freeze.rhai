// Six gateways are frozen longer than every lease with requests in flight, then resumed.
fleet(#{ deployment: "kestrelmoor", gateways: 36, cuts: true });
load(#{ rate: 250.0, writes: true, limit_s: 10, work_ms: 20 });
wait(1);
let frozen = pick(6);
freeze(frozen);
wait(7.5);
thaw(frozen);
wait(2);
end_loads();
expect_told("ran", 500);
check();
