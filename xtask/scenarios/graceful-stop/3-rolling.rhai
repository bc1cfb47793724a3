// Three groups of four gateways are stopped and restarted one after the other while the platform is down.
fleet(#{ gateways: 36 });
load(#{ rate: 120.0, work_ms: 200 });
load(#{ rate: 40.0, writes: true, work_ms: 200 });
platform(#{ outage: true });
let chosen = pick(12);
for group in 0..3 {
    let part = chosen.extract(group * 4, 4);
    stop(part);
    stopped(part, 10);
    restart(part);
}
platform(#{});
wait(1);
check();
