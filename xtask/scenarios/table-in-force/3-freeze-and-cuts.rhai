// Gateways are frozen, and messages of others delayed, while two operators edit concurrently.
fleet(#{ gateways: 36, cuts: true });
watch_tables();
let chosen = pick(12);
let frozen = chosen.extract(0, 6);
let unheard = chosen.extract(6, 6);
freeze(frozen);
unreachable(unheard);
cut(unheard, rest(unheard));
edit();
edit_together();
wait(7);
thaw(frozen);
heal();
reachable(unheard);
wait(1);
edit();
wait(9);
check();
