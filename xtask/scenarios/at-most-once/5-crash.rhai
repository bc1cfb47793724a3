// A caller sends a write that crashes its backend server 20 times, each time with a new key right after the response.
fleet(#{ gateways: 36, window_s: 12, cuts: true });
load(#{ rate: 200.0, writes: true, repeats: 2, over_ms: 400.0 });
wait(1);
resend(#{ writes: true, crash: true, work_ms: 5 }, 20);
wait(0.5);
expect_crashed(2);
check();
