// One-way partitions delay the messages of six gateways, then requests to servers, while writes are submitted twice.
fleet(#{ gateways: 36, window_s: 12, cuts: true });
load(#{ rate: 300.0, writes: true, repeats: 2, over_ms: 600.0 });
load(#{ rate: 60.0, presses: true, repeats: 2, over_ms: 60.0, work_ms: 30 });
wait(1);
let partitioned = pick(6);
cut(partitioned, rest(partitioned));
wait(3);
heal();
cut_requests(pick(18), pick_servers("reading", 2));
wait(2);
heal();
wait(0.5);
end_loads();
expect_told("ran", 1000);
check();
