import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** The store is silent towards one of three gateways for two seconds; afterwards the configuration changes. */
final class SilentStore {
    static final long CONFIG_MS = 2000, OUTER_MS = 5000, TOUCH_MS = 3000;
    static final long SILENCE_MS = 2000;

    record Version(long version, long ackAt) {}

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], SilentStore::play);
    }

    static int play() throws Exception {
        Lab.Store store = new Lab.Store();
        for (int i = 0; i < 2; i++) {
            new Lab.Server("old-" + i, "desk-old", "a", store, 20);
            new Lab.Server("new-" + i, "desk-new", "a", store, 20);
        }
        write(store, 1, "desk-old", "/first/", List.of("k1", "k2"));
        List<Lab.Gateway> gateways = new ArrayList<>();
        List<AtomicBoolean> silences = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            AtomicBoolean silent = new AtomicBoolean();
            silences.add(silent);
            gateways.add(new Lab.Gateway("front-a-" + (i + 1), "a", store.open(silent)));
        }
        for (Lab.Gateway g : gateways) g.start();
        for (Lab.Gateway g : gateways) g.awaitReady(20_000);
        List<List<Lab.Outcome>> outcomes = new ArrayList<>();
        for (Lab.Gateway g : gateways) {
            List<Lab.Outcome> list = Collections.synchronizedList(new ArrayList<>());
            outcomes.add(list);
            ask(g, list, "/book/1", "k1");
            ask(g, list, "/book/1", "k2");
            ask(g, list, "/later/1", "k1");
        }
        Lab.sleep(4000);
        // An operator changes the configuration in several steps, as after any deployment.
        long second = write(store, 2, "desk-old", "/second/", List.of("k1", "k2"));
        Lab.sleep(1000);
        long silentAt = Lab.now();
        if (Lab.trouble()) {
            silences.get(0).set(true);
            Lab.log("the store is silent towards %s", gateways.get(0).id);
        }
        Lab.sleep(SILENCE_MS / 2);
        long third = write(store, 3, "desk-old", "/third/", List.of("k1", "k2"));
        Lab.sleep(silentAt + SILENCE_MS - Lab.now());
        silences.get(0).set(false);
        long end = Lab.now();
        if (Lab.trouble()) Lab.log("the store answers %s again; in touch from %d ms", gateways.get(0).id, end + TOUCH_MS);
        Lab.sleep(end + TOUCH_MS + 300 - Lab.now());
        // Moves /book/ to another service, takes key k2 away and adds /later/.
        long fourth = write(store, 4, "desk-new", "/later/", List.of("k1"));
        Lab.sleep(14_000);

        Map<String, Lab.Run> runs = new HashMap<>();
        for (Lab.Run r : new ArrayList<>(Lab.Server.RUNS)) runs.put(r.request(), r);
        int broken = 0;
        for (int i = 0; i < gateways.size(); i++) {
            int old = 0, revoked = 0, refused = 0, right = 0;
            long last = 0;
            for (Lab.Outcome o : new ArrayList<>(outcomes.get(i))) {
                if (o.sentAt() < silentAt) continue;
                Lab.Run run = runs.get(o.request());
                boolean isCounted = o.sentAt() > fourth + CONFIG_MS;
                Lab.log("  %s: %s %s key %s sent at %d ms: %d, run by %s%s", gateways.get(i).id, o.request(), o.path(), o.key(), o.sentAt(), o.status(), run == null ? "nobody" : run.server(), isCounted ? "" : " (not counted)");
                if (!isCounted) continue;
                boolean isWrong = true;
                if (o.key().equals("k2") && run != null) revoked++;
                else if (o.path().startsWith("/book/") && run != null && run.server().startsWith("old-")) old++;
                else if (o.key().equals("k1") && (o.status() == 404 || o.status() == 401)) refused++;
                else { isWrong = false; right++; }
                if (isWrong) last = o.sentAt();
            }
            Lab.log("%s: of the requests sent later than %d ms after the acknowledgement of version 4 (%d ms): %d run by the old service, %d run with the key that was taken away, %d refused on the new route, %d right; last wrong one %d ms after the acknowledgement",
                gateways.get(i).id, CONFIG_MS, fourth, old, revoked, refused, right, last == 0 ? 0 : last - fourth);
            broken += old + revoked + refused;
        }
        return broken > 0 ? 1 : 0;
    }

    static long write(Lab.Store store, long version, String service, String route, List<String> keys) {
        store.put("config", "main", Lab.config(version, List.of(
            Lab.route("book", "/book/", "unsafe", service, 1500, 300, 1),
            Lab.route("extra", route, "unsafe", service, 1500, 300, 1)), List.of("desk-old", "desk-new"), keys));
        long at = Lab.now();
        Lab.log("version %d acknowledged: /book/ and %s to %s, keys %s", version, route, service, keys);
        return at;
    }

    static void ask(Lab.Gateway g, List<Lab.Outcome> list, String path, String key) {
        Lab.daemon(() -> {
            Lab.Client c = new Lab.Client(g.front);
            while (true) { list.add(c.call("POST", "desk.example", path, key, 3000, new byte[300])); Lab.sleep(250); }
        });
    }
}
