// Leaving servers do not report it in their responses; the VM list is current.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 400.0 });
wait(1);
leave(pick_servers("reading", 1), false);
wait(5);
check();
