// Gateways are killed and frozen while responses are misdirected, late and truncated.
fleet(#{ gateways: 36 });
let servers = pick_servers("reading", 8);
faults(servers, #{ late_every: 7, late_ms: 150, cross_every: 5, truncate_every: 11 });
load(#{ rate: 250.0, bytes: 40000 });
load(#{ rate: 80.0, writes: true, repeats: 2, over_ms: 400.0 });
wait(1);
let chosen = pick(6);
let killed = chosen.extract(0, 3);
let frozen = chosen.extract(3, 3);
kill(killed);
freeze(frozen);
wait(4);
thaw(frozen);
wait(2);
end_loads();
expect_told("ran", 500);
check();
