import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * A server crashes and starts again while a gateway is frozen, and the streams that it was sending have neither a length
 * nor chunks. Arguments: folder for logs, record, 1 with the disruption and 0 without.
 */
public final class RestartedServer {
    private static final int EVENTS = 24;

    public static void main(String[] arguments) throws Exception {
        boolean isDisturbed = arguments[2].equals("1");
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            System.exit(run(lab, isDisturbed));
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static int run(Lab lab, boolean isDisturbed) throws Exception {
        Map<String, Object> route = Lab.map("name", "plans", "host", "site.example", "path_prefix", "/plans/", "kind",
                "streaming", "resumable", true, "service", "drafts", "attempts", 2, "timeout_ms", 8000,
                "target_latency_ms", 501, "gap_target_ms", 120, "priority", 1);
        lab.configure(3, List.of(route), List.of(Lab.map("name", "drafts", "max_connections", 400)));
        String[] settings = {"events=" + EVENTS, "gap=180", "framing=close"};
        List<Lab.Server> servers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) servers.add(lab.new Server("i-000" + i, "drafts", 8, settings));
        int control = Lab.freePort();
        Lab.Gateway gateway = lab.new Gateway("front-a-1", "zone-a", List.of("127.0.0.1:" + control), control);
        gateway.start();
        if (!gateway.awaitReady(20_000)) throw new IllegalStateException("the gateway is not ready");

        List<Call> calls = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String id = String.format("%016x", 0xabd000 + i);
            clients.add(Threads.start(() -> {
                lab.note("client sends " + id);
                Call call = Call.make(gateway.front, id, "POST", "/plans/a", "{}", 8_000);
                calls.add(call);
                lab.note("client has " + id + ": status " + call.status + ", " + call.events() + " events, "
                        + (call.isComplete ? "complete" : "not complete " + call.failure));
            }));
            if (i == 40 && isDisturbed) disturb(lab, gateway, servers.get(0));
            Threads.sleep(150);
        }
        for (Thread client : clients) client.join();

        int early = 0;
        int whole = 0;
        for (Call call : calls) {
            boolean isWhole = call.body.equals(expected(call.id));
            if (call.status == 200 && call.isComplete && !isWhole) {
                early++;
                lab.note("ORDER broken: " + call.id + " ends as complete after " + call.events() + " of " + EVENTS
                        + " events");
            }
            if (call.status == 200 && call.isComplete && isWhole) whole++;
        }
        lab.note("streams: " + calls.size() + ", whole: " + whole + ", complete before their last piece: " + early);
        if (!isDisturbed && whole < calls.size()) return 1;
        return early > 0 ? 1 : 0;
    }

    private static void disturb(Lab lab, Lab.Gateway gateway, Lab.Server server) throws Exception {
        gateway.signal("STOP");
        long since = System.currentTimeMillis();
        Threads.sleep(200);
        server.kill();
        Threads.sleep(200);
        server.restart();
        Threads.sleep(since + 1_600 - System.currentTimeMillis());
        gateway.signal("CONT");
    }

    private static String expected(String id) {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= EVENTS; n++) {
            text.append("id: ").append(n).append("\ndata: ").append(Worker.dataOf(id, n, EVENTS)).append("\n\n");
        }
        return text.toString();
    }
}
