import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** One of two gateways is frozen for four seconds while clients send bodies of 1 MB, a quarter of max_body_bytes. */
final class FrozenUploads {
    static final int BODY = 1_000_000;
    static final int PER_S = 40;
    static final long FREEZE_MS = 4000, TOUCH_MS = 3000, TIMEOUT_MS = 1500, DEADLINE_MS = 3009, GRACE_MS = 8000;

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], FrozenUploads::play);
    }

    static int play() throws Exception {
        Lab.Store store = new Lab.Store();
        for (int i = 0; i < 3; i++) new Lab.Server("i-" + i, "desk", "a", store, 60);
        store.put("config", "main", Lab.config(1, List.of(
            Lab.route("photo", "/photo/", "unsafe", "desk", TIMEOUT_MS, 387, 1),
            Lab.route("book", "/book/", "unsafe", "desk", TIMEOUT_MS, 387, 1)), List.of("desk"), List.of("k1")));
        List<Lab.Gateway> gateways = List.of(
            new Lab.Gateway("front-a-1", "a", store.open(new AtomicBoolean())),
            new Lab.Gateway("front-a-2", "a", store.open(new AtomicBoolean())));
        for (Lab.Gateway g : gateways) g.start();
        for (Lab.Gateway g : gateways) g.awaitReady(20_000);
        Lab.Gateway frozen = gateways.get(0);
        Lab.Ingress ingress = new Lab.Ingress(gateways);
        List<List<Lab.Outcome>> outcomes = List.of(Collections.synchronizedList(new ArrayList<>()), Collections.synchronizedList(new ArrayList<>()));

        // Small requests of 40 clients, each of which keeps its connection and sends every 5 s.
        for (int i = 0; i < 40; i++) {
            int n = i;
            Lab.daemon(() -> {
                Lab.Client c = null;
                Lab.Gateway at = null;
                Lab.sleep(n * 125);
                while (true) {
                    if (c == null || !c.isOpen()) { at = ingress.choose(n); c = new Lab.Client(at.front); }
                    outcomes.get(gateways.indexOf(at)).add(c.call("POST", "desk.example", "/book/1", "k1", DEADLINE_MS, new byte[600]));
                    Lab.sleep(5000);
                }
            });
        }
        // Uploads: PER_S a second at each gateway, on kept connections where one is free.
        long start = Lab.now();
        long last = start + 22_000;
        for (Lab.Gateway g : gateways) upload(g, ingress, outcomes.get(gateways.indexOf(g)), last);
        Lab.sleep(8000);
        long thawed = Lab.now() + FREEZE_MS;
        if (Lab.trouble()) frozen.signal("STOP");
        Lab.sleep(FREEZE_MS);
        if (Lab.trouble()) frozen.signal("CONT");
        Lab.sleep(22_000);

        Map<String, Integer> runs = new HashMap<>();
        for (Lab.Run r : new ArrayList<>(Lab.Server.RUNS)) runs.merge(r.request(), 1, Integer::sum);
        int broken = 0;
        for (int i = 0; i < gateways.size(); i++) {
            int sent = 0, late = 0, unanswered = 0;
            Map<String, Integer> counts = new TreeMap<>();
            for (Lab.Outcome o : new ArrayList<>(outcomes.get(i))) {
                String end = o.status() == 0 ? o.detail() : "" + o.status();
                String when = o.sentAt() < thawed - FREEZE_MS ? "1 before" : o.sentAt() < thawed + TOUCH_MS ? "2 frozen or not yet in touch" : "3 in touch again";
                Lab.log("  %s: %s %s sent at %d ms, ended at %d ms: %s, run %d times", gateways.get(i).id, o.request(), o.path(), o.sentAt(), o.endedAt(), end, runs.getOrDefault(o.request(), 0));
                counts.merge(when + ", " + o.path() + ": " + end, 1, Integer::sum);
                if (o.sentAt() < thawed + TOUCH_MS) continue;
                sent++;
                // Connections that could not be made carry no request.
                if (o.detail().contains("ConnectException") || o.detail().contains("connect timed out")) continue;
                if (o.ms() > TIMEOUT_MS) late++;
                if (o.ms() > TIMEOUT_MS + 500) unanswered++;
            }
            Lab.Gateway g = gateways.get(i);
            counts.forEach((k, v) -> Lab.log("%s: %5d x %s", g.id, v, k));
            Lab.log("%s: of %d requests sent from %d ms after its freeze ended, %d had no answer at the route's timeout_ms (%d), %d of them none half a second later", g.id, sent, TOUCH_MS, late, TIMEOUT_MS, unanswered);
            if (unanswered >= 5 && unanswered * 2 > late) broken++;
        }
        Lab.log("%s: GET /ready gives %d (0: no answer), the process %s, %d lines of its log name an OutOfMemoryError", frozen.id, frozen.ready(), frozen.process.isAlive() ? "lives" : "has ended", frozen.logLines("OutOfMemoryError").size());
        for (String l : frozen.logLines("OutOfMemoryError")) { Lab.log("  its log: %s", l.substring(0, Math.min(700, l.length()))); break; }
        frozen.signal("TERM");
        boolean ended = frozen.process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS);
        Lab.log("%s: %s within grace_s of SIGTERM", frozen.id, ended ? "ended" : "did not end");
        return broken > 0 ? 1 : 0;
    }

    static void upload(Lab.Gateway g, Lab.Ingress ingress, List<Lab.Outcome> list, long last) {
        ConcurrentLinkedDeque<Lab.Client> idle = new ConcurrentLinkedDeque<>();
        Lab.daemon(() -> {
            while (Lab.now() < last) {
                Lab.sleep(1000 / PER_S);
                Lab.Client kept = idle.pollFirst();
                while (kept != null && !kept.isOpen()) kept = idle.pollFirst();
                if (kept == null && !ingress.isInRotation(g)) continue;
                Lab.Client c = kept == null ? new Lab.Client(g.front) : kept;
                Lab.daemon(() -> {
                    list.add(c.call("POST", "desk.example", "/photo/1", "k1", DEADLINE_MS, new byte[BODY]));
                    idle.addFirst(c);
                });
            }
        });
    }
}
