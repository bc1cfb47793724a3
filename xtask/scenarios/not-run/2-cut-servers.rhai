// One-way partitions delay requests to servers, then responses of servers.
fleet(#{ deployment: "kestrelmoor", gateways: 36, cuts: true });
load(#{ rate: 250.0, writes: true });
wait(1);
let gateways = pick(12);
let servers = pick_servers("payments", 1);
cut_requests(gateways, servers);
wait(3);
heal();
cut_answers(gateways, servers);
wait(3);
heal();
wait(1);
end_loads();
expect_told("ran", 500);
check();
