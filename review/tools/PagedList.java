import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Gateways are restarted in turn while the servers of a service are replaced; the list of servers has eight pages. */
final class PagedList {
    static final long DRAIN_MS = 3000, TOUCH_MS = 4000, SERVE_AFTER_DRAIN_MS = 12_000;
    static final int OTHERS = 3600, SERVERS = 200, ROUNDS = 2;

    static final Map<String, Long> DRAINING = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], PagedList::play);
    }

    static String id() { return String.format("i-%08x", Lab.RANDOM.nextInt()); }

    static int play() throws Exception {
        Lab.Store store = new Lab.Store();
        // Servers of other services of the same platform, to which no route leads here.
        for (int i = 0; i < OTHERS; i++) {
            store.put("servers", id(), Lab.map("service", "other-" + i % 7, "address", "127.0.0.1:" + (1 + i % 1000), "zone", "a", "version", "v1",
                "slots", 6L, "state", "ready", "cold_remaining_ms", 0L, "sequence", 1L, "born", 1L));
        }
        Deque<Lab.Server> servers = new ArrayDeque<>();
        for (int i = 0; i < SERVERS; i++) servers.add(new Lab.Server(id(), "desk", "a", store, 10));
        store.put("config", "main", Lab.config(1, List.of(Lab.route("view", "/view/", "unsafe", "desk", 1500, 300, 1)), List.of("desk"), List.of("k1")));
        List<Lab.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < 3; i++) gateways.add(new Lab.Gateway("front-a-" + (i + 1), "a", store.open(new AtomicBoolean())));
        for (Lab.Gateway g : gateways) g.start();
        for (Lab.Gateway g : gateways) g.awaitReady(20_000);
        Lab.Ingress ingress = new Lab.Ingress(gateways);
        Map<String, Lab.Gateway> sentBy = new ConcurrentHashMap<>();
        Map<String, Lab.Outcome> outcomes = new ConcurrentHashMap<>();
        for (int i = 0; i < 18; i++) {
            Lab.Gateway g = gateways.get(i % 3);
            Lab.daemon(() -> {
                Lab.Client c = new Lab.Client(g.front);
                while (true) {
                    if (!c.isOpen() && !ingress.isInRotation(g)) { Lab.sleep(50); continue; }
                    Lab.Outcome o = c.call("POST", "desk.example", "/view/1", "k1", 3000, new byte[300]);
                    if (o.status() != 0) { sentBy.put(o.request(), g); outcomes.put(o.request(), o); }
                    Lab.sleep(40);
                }
            });
        }
        Lab.sleep(4000);
        for (int round = 0; round < ROUNDS; round++) {
            CountDownLatch restarted = new CountDownLatch(1);
            if (Lab.trouble()) {
                Lab.daemon(() -> {
                    try {
                        for (Lab.Gateway g : gateways) {
                            g.signal("TERM");
                            g.process.waitFor();
                            g.start();
                            g.awaitReady(20_000);
                            Lab.sleep(1300);
                        }
                    } catch (Exception e) { Lab.log("restart: %s", e); }
                    restarted.countDown();
                });
            } else restarted.countDown();
            // 45 in 100 of the servers are replaced, nine a second; each new server starts first, then the old one drains.
            Lab.sleep(2000);
            for (int i = 0; i < SERVERS * 45 / 100; i++) {
                servers.add(new Lab.Server(id(), "desk", "a", store, 10));
                Lab.Server old = servers.remove();
                old.state = "draining";
                old.beat();
                DRAINING.put(old.id, Lab.now());
                Lab.daemon(() -> { Lab.sleep(SERVE_AFTER_DRAIN_MS); old.leave(); old.stop(); });
                Lab.sleep(111);
            }
            restarted.await();
            Lab.sleep(5000);
        }
        Lab.sleep(4000);
        DRAINING.entrySet().stream().sorted(Map.Entry.comparingByValue()).forEach(e -> Lab.log("  %s: draining acknowledged at %d ms", e.getKey(), e.getValue()));
        int broken = 0, requests = 0;
        Set<String> stale = new TreeSet<>();
        for (Lab.Run r : new ArrayList<>(Lab.Server.RUNS)) {
            requests++;
            Long drained = DRAINING.get(r.server());
            Lab.Gateway g = sentBy.get(r.request());
            if (drained == null || g == null || r.at() <= drained + DRAIN_MS) continue;
            long sentAt = outcomes.get(r.request()).sentAt();
            boolean inTouch = g.starts.stream().noneMatch(s -> s > sentAt - TOUCH_MS && s <= sentAt) && g.stops.stream().noneMatch(s -> s > sentAt - TOUCH_MS && s <= r.at());
            if (!inTouch) continue;
            broken++;
            stale.add(g.id + " " + r.server());
            Lab.log("  request %s reached %s %d ms after its draining was acknowledged, sent by %s, which had started %d ms before", r.request(), r.server(), r.at() - drained, g.id, sentAt - g.starts.stream().filter(s -> s <= sentAt).max(Long::compare).orElse(0L));
        }
        Lab.log("gateways and draining servers that they went on using: %s", stale);
        Lab.log("%d runs; %d servers drained; %d requests reached a draining server later than %d ms after the acknowledgement, from a gateway in touch", requests, DRAINING.size(), broken, DRAIN_MS);
        return broken > 0 ? 1 : 0;
    }
}
