import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * A server crashes while a stream of an added route has its head but no event yet; the same caller then asks for the same
 * again. Arguments: folder for logs, record, 1 with the disruption and 0 without.
 */
public final class HeldBack {
    private static final int EVENTS = 12;

    public static void main(String[] arguments) throws Exception {
        boolean isDisturbed = arguments[2].equals("1");
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            System.exit(run(lab, isDisturbed));
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static Map<String, Object> route(String name) {
        return Lab.map("name", name, "host", "site.example", "path_prefix", "/" + name + "/", "kind", "streaming",
                "resumable", true, "service", "drafts", "attempts", 2, "timeout_ms", 8000, "target_latency_ms", 501,
                "gap_target_ms", 120, "priority", 1);
    }

    private static final List<Call> first = Collections.synchronizedList(new ArrayList<>());
    private static final List<Call> later = Collections.synchronizedList(new ArrayList<>());
    private static final List<Thread> clients = new ArrayList<>();

    /** Starts a client; the requests of the added route all have the same body, those of the first route differ. */
    private static void send(Lab lab, Lab.Gateway gateway, String id, boolean isLater, boolean isCounted) {
        String route = isLater ? "notes" : "plans";
        String body = isLater ? "{\"week\":49}" : "{\"visit\":\"" + id + "\"}";
        clients.add(Threads.start(() -> {
            lab.note("client sends " + id + " for " + route);
            Call call = Call.make(gateway.front, id, "POST", "/" + route + "/a", body, 8_000);
            if (isCounted) (isLater ? later : first).add(call);
            lab.note("client has " + id + ": status " + call.status + ", " + call.events() + " events, "
                    + (call.isComplete ? "complete" : "not complete " + call.failure));
        }));
    }

    private static int run(Lab lab, boolean isDisturbed) throws Exception {
        List<Map<String, Object>> services = List.of(Lab.map("name", "drafts", "max_connections", 400));
        lab.configure(3, List.of(route("plans")), services);
        String[] settings = {"events=" + EVENTS, "gap=80", "framing=chunked"};
        List<Lab.Server> servers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) servers.add(lab.new Server("i-000" + i, "drafts", 8, settings));
        int control = Lab.freePort();
        Lab.Gateway gateway = lab.new Gateway("front-a-1", "zone-a", List.of("127.0.0.1:" + control), control);
        gateway.start();
        if (!gateway.awaitReady(20_000)) throw new IllegalStateException("the gateway is not ready");

        int number = 0xabf000;
        for (int i = 0; i < 30; i++) {
            send(lab, gateway, String.format("%016x", number++), false, false);
            if (i == 10) lab.configure(7, List.of(route("plans"), route("notes")), services);
            Threads.sleep(200);
        }
        String struck = String.format("%016x", number++);
        send(lab, gateway, struck, true, false);
        Lab.Server crashed = null;
        long end = System.currentTimeMillis() + 2_000;
        while (crashed == null && System.currentTimeMillis() < end) {
            for (Lab.Server server : servers) {
                if (server.told().stream().anyMatch(line -> line.contains("RUN " + struck))) crashed = server;
            }
            if (crashed == null) Threads.sleep(2);
        }
        if (crashed == null) throw new IllegalStateException("no server runs the request");
        if (isDisturbed) {
            crashed.kill();
            Threads.sleep(2_000);
            crashed.restart();
        }
        // Longer than stability_window_ms after the server is back.
        for (int i = 0; i < 25; i++) {
            send(lab, gateway, String.format("%016x", number++), false, false);
            Threads.sleep(200);
        }
        for (int i = 0; i < 80; i++) {
            send(lab, gateway, String.format("%016x", number++), i % 2 == 1, true);
            Threads.sleep(200);
        }
        for (Thread client : clients) client.join();

        int firstServed = served(first);
        int laterServed = served(later);
        lab.note("first route: " + firstServed + " of " + first.size() + " served; added route: " + laterServed + " of "
                + later.size() + " served");
        boolean isBroken = 4.0 * laterServed / later.size() < (double) firstServed / first.size();
        if (isBroken) lab.note("CONFIG broken: the added route is served less than a quarter as often");
        return isBroken ? 1 : 0;
    }

    private static int served(List<Call> calls) {
        int served = 0;
        for (Call call : calls) {
            StringBuilder text = new StringBuilder();
            for (int n = 1; n <= EVENTS; n++) {
                text.append("id: ").append(n).append("\ndata: ").append(Worker.dataOf(call.id, n, EVENTS))
                        .append("\n\n");
            }
            if (call.status == 200 && call.isComplete && call.body.contentEquals(text)) served++;
        }
        return served;
    }
}
