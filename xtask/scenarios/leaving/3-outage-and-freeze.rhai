// The platform is down, and six gateways are frozen before servers leave and resumed afterwards.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 400.0, limit_s: 9 });
wait(1);
platform(#{ outage: true });
let frozen = pick(6);
freeze(frozen);
wait(1);
leave(pick_servers("reading", 1), true);
wait(6);
thaw(frozen);
wait(3);
platform(#{});
check();
