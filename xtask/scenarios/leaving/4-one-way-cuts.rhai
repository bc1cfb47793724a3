// One-way partitions delay the messages of a third of the gateways and the VM list lags while servers leave.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 400.0 });
wait(1);
platform(#{ lag_ms: 10000 });
let partitioned = pick(12);
cut(partitioned, rest(partitioned));
leave(pick_servers("reading", 1), true);
wait(5);
heal();
wait(3);
check();
