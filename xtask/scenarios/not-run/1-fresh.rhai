// A new fleet refuses at-most-once requests until a deduplication window and a lease have passed.
fleet(#{ deployment: "kestrelmoor", gateways: 36, cuts: true });
load(#{ rate: 250.0, writes: true });
wait(4);
end_loads();
expect_told("not-run", 100);
check();
established();
