// A caller sends a request that crashes its backend server 30 times, each time right after the response.
// It runs last: a crashed server has a slow start of 10 s and would not count for the floor.
fleet(#{ gateways: 36, cuts: true });
load(#{ rate: 300.0 });
wait(1);
resend(#{ crash: true, work_ms: 5 }, 30);
wait(1);
expect_crashed(2);
check();
