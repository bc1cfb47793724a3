// The platform is stale while an operator edits the table and gateways restart.
fleet(#{ gateways: 36, cuts: true });
watch_tables();
platform(#{ stale: true });
edit_unseen();
let killed = pick(4);
kill(killed);
wait(1);
restart(killed);
wait(1);
platform(#{});
wait(9);
check();
