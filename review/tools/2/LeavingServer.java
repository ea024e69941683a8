import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * A server leaves and is gone two seconds after its notice, while it sends streams without a length or chunks, which end
 * with their connection. Arguments: folder for logs, record, 1 with the disruption and 0 without.
 */
public final class LeavingServer {
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
                "target_latency_ms", 501, "gap_target_ms", 400, "priority", 1);
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
        // A stream every 150 ms for 12 s; each takes 4.3 s.
        for (int i = 0; i < 80; i++) {
            String id = String.format("%016x", 0xabc000 + i);
            clients.add(Threads.start(() -> {
                lab.note("client sends " + id);
                Call call = Call.make(gateway.front, id, "POST", "/plans/a", "{}", 8_000);
                calls.add(call);
                lab.note("client has " + id + ": status " + call.status + ", " + call.events() + " events, "
                        + (call.isComplete ? "complete" : "not complete " + call.failure));
            }));
            if (i == 40) notice(lab, servers.get(0), isDisturbed);
            Threads.sleep(150);
        }
        for (Thread client : clients) client.join();

        int short_ = 0;
        int whole = 0;
        for (Call call : calls) {
            boolean isWhole = call.body.equals(expected(call.id));
            if (call.status == 200 && call.isComplete && !isWhole) {
                short_++;
                lab.note("ORDER broken: " + call.id + " ends as complete after " + call.events() + " of " + EVENTS
                        + " events");
            }
            if (call.status == 200 && call.isComplete && isWhole) whole++;
        }
        lab.note("streams: " + calls.size() + ", whole: " + whole + ", complete before their last piece: " + short_);
        // Without the disruption every stream has to be served.
        if (!isDisturbed && whole < calls.size()) return 1;
        return short_ > 0 ? 1 : 0;
    }

    private static void notice(Lab lab, Lab.Server server, boolean isDisturbed) {
        Threads.start(() -> {
            server.drain();
            if (isDisturbed) {
                Threads.sleep(2_000);
            } else {
                // Planned: it goes on until its last stream has ended.
                long end = System.currentTimeMillis() + 20_000;
                while (server.running() > 0 && System.currentTimeMillis() < end) Threads.sleep(50);
                Threads.sleep(500);
            }
            try {
                server.kill();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static String expected(String id) {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= EVENTS; n++) {
            text.append("id: ").append(n).append("\ndata: ").append(Worker.dataOf(id, n, EVENTS)).append("\n\n");
        }
        return text.toString();
    }
}
