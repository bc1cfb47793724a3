// Gateways are frozen, and messages of others delayed, while two operators edit concurrently.
fleet(#{ gateways: 36, cuts: true });
watch_tables();
let chosen = pick(12);
let frozen = chosen.extract(0, 6);
let partitioned = chosen.extract(6, 6);
freeze(frozen);
unreachable(partitioned);
cut(partitioned, rest(partitioned));
edit();
edit_together();
wait(7);
thaw(frozen);
heal();
reachable(partitioned);
wait(1);
edit();
wait(9);
check();
