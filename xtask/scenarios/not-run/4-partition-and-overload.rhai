// A third of the gateways is partitioned while all servers reject or stall part of the work.
fleet(#{ deployment: "kestrelmoor", gateways: 36, cuts: true });
load(#{ rate: 250.0, writes: true });
wait(1);
let side = pick(12);
cut(side, rest(side));
cut(rest(side), side);
let servers = pick_servers("payments", 2);
faults(servers, #{ shed: true, flap: #{ period_ms: 400, duty: 0.5 } });
wait(3);
faults(servers, #{ stall: true, flap: #{ period_ms: 1000, duty: 0.3 } });
wait(4);
heal();
faults(servers, #{});
wait(2);
end_loads();
expect_told("not-run", 100);
check();
