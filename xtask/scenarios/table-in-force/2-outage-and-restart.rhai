// The platform is down during an edit while gateways are killed, replaced and restarted.
fleet(#{ gateways: 36, cuts: true });
watch_tables();
edit();
wait(2.5);
platform(#{ outage: true });
edit_unseen();
let killed = pick(6);
kill(killed);
wait(1);
replace(killed.extract(0, 3));
restart(killed.extract(3, 3));
wait(1);
platform(#{});
wait(9);
check();
