import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * A configuration adds a route to a service whose streams have increasing ids that are not consecutive, as they count
 * tokens. Arguments: folder for logs, record, 1 with the change and 0 without.
 */
public final class AddedRoute {
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

    private static Map<String, Object> route(String name, String service) {
        return Lab.map("name", name, "host", "site.example", "path_prefix", "/" + name + "/", "kind", "streaming",
                "resumable", true, "service", service, "attempts", 2, "timeout_ms", 8000, "target_latency_ms", 501,
                "gap_target_ms", 120, "priority", 1);
    }

    private static int run(Lab lab, boolean isDisturbed) throws Exception {
        List<Map<String, Object>> services = List.of(Lab.map("name", "drafts", "max_connections", 400),
                Lab.map("name", "notes", "max_connections", 400));
        lab.configure(3, List.of(route("plans", "drafts")), services);
        for (int i = 1; i <= 3; i++) {
            lab.new Server("i-000" + i, "drafts", 8, "events=" + EVENTS, "gap=80", "framing=chunked");
            lab.new Server("i-001" + i, "notes", 8, "events=" + EVENTS, "gap=80", "framing=chunked", "numbers=tokens");
        }
        int control = Lab.freePort();
        Lab.Gateway gateway = lab.new Gateway("front-a-1", "zone-a", List.of("127.0.0.1:" + control), control);
        gateway.start();
        if (!gateway.awaitReady(20_000)) throw new IllegalStateException("the gateway is not ready");

        List<Call> first = Collections.synchronizedList(new ArrayList<>());
        List<Call> later = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            // From 8 s after the change on, half of the requests are for the route that it has added.
            boolean isLater = isDisturbed && i >= 40 && i % 2 == 1;
            String id = String.format("%016x", 0xabe000 + i);
            clients.add(Threads.start(() -> {
                lab.note("client sends " + id + " for " + (isLater ? "notes" : "plans"));
                Call call = Call.make(gateway.front, id, "POST", isLater ? "/notes/a" : "/plans/a", "{}", 8_000);
                (isLater ? later : first).add(call);
                lab.note("client has " + id + ": status " + call.status + ", " + call.events() + " events, "
                        + (call.isComplete ? "complete" : "not complete " + call.failure));
            }));
            if (i == 10 && isDisturbed) {
                lab.configure(7, List.of(route("plans", "drafts"), route("notes", "notes")), services);
            }
            Threads.sleep(250);
        }
        for (Thread client : clients) client.join();

        int firstServed = served(first, "events");
        int laterServed = served(later, "tokens");
        lab.note("first route: " + firstServed + " of " + first.size() + " served; added route: " + laterServed + " of "
                + later.size() + " served");
        if (firstServed < first.size()) return isDisturbed ? 2 : 1;
        boolean isBroken = later.size() >= 20
                && 4.0 * laterServed / later.size() < (double) firstServed / first.size();
        if (isBroken) lab.note("CONFIG broken: the added route is served less than a quarter as often");
        return isBroken ? 1 : 0;
    }

    private static int served(List<Call> calls, String numbers) {
        int served = 0;
        for (Call call : calls) {
            StringBuilder text = new StringBuilder();
            for (int n = 1; n <= EVENTS; n++) {
                text.append("id: ").append(Worker.idOf(numbers, n)).append("\ndata: ")
                        .append(Worker.dataOf(call.id, n, EVENTS)).append("\n\n");
            }
            if (call.status == 200 && call.isComplete && call.body.contentEquals(text)) served++;
        }
        return served;
    }
}
