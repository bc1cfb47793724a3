// Half of the gateways are killed 1.5 s after servers began to leave while the VM list lags.
fleet(#{ gateways: 36, cuts: true });
platform(#{ lag_ms: 20000 });
load(#{ rate: 400.0 });
wait(1);
leave(pick_servers("reading", 1), true);
wait(1.5);
kill(pick(18));
wait(6);
check();
