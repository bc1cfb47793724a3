// The VM list lags by 10 s; leaving servers report it in their responses.
fleet(#{ gateways: 36, cuts: true });
wait(2);
load(#{ rate: 400.0 });
wait(1);
platform(#{ lag_ms: 10000 });
leave(pick_servers("reading", 2), true);
wait(6);
check();
platform(#{});
