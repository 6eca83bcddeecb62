import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Clients that nobody controls send request targets with bytes that are not ASCII, as the text of the path and of the
 * query in UTF-8. Without the disruption the same text is percent-encoded. A replica must get each target as it was
 * sent, or not at all.
 */
public final class RawTarget {
    private static final int REQUESTS = 20;
    private static final String[] NAMES = {"caf\u00e9", "Injera \u12a5\u1295\u1300\u122b", "Povode\u0148", "na\u00efve"};
    private static final Map<String, String> run = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment deployment = new Deployment(arguments[0])) {
            deployment.store.write("keyed.op", "config", Deployment.configuration(1, 1_500, 16_384));
            for (int number = 0; number < 2; number++) {
                Replica replica = new Replica("127.0.0.1", "replica-" + number, (request, socket, out) -> {
                    TimeUnit.MILLISECONDS.sleep(20);
                    run.put(request.header("X-Attempt-Id"), request.start().split(" ")[1]);
                    Replica.answer(request, out, "booked");
                });
                deployment.list(replica, "ledger", "zone-" + number);
            }
            deployment.startMachines(2);
            int changed = 0;
            int same = 0;
            int refused = 0;
            for (int number = 0; number < REQUESTS; number++) {
                Deployment.Machine machine = deployment.machines.get(number % 2);
                String name = NAMES[number % NAMES.length].replace(" ", "%20");
                String text = trouble ? Http.string(name.getBytes(StandardCharsets.UTF_8)) : encode(name);
                String target = (number % 4 < 2 ? "/book/" : "/look/") + text + "?for=" + text;
                String id = "attempt-" + number;
                Http.Message answer = send(machine, number % 4 < 2 ? "POST" : "GET", target, id);
                String reached = run.get(id);
                String status = answer == null ? "a close" : answer.start();
                if (reached == null) refused++;
                else if (reached.equals(target)) same++;
                else changed++;
                deployment.note("sent " + printable(target) + "; a replica ran "
                    + (reached == null ? "nothing" : printable(reached)) + "; answered " + status);
            }
            deployment.note(REQUESTS + " sent, " + same + " ran as sent, " + changed + " ran with another target, "
                + refused + " not run");
            deployment.note(changed > 0 ? "the rule was broken" : "the rule held");
            deployment.close();
            System.exit(changed > 0 ? Deployment.BROKEN : Deployment.HELD);
        } catch (Exception problem) {
            problem.printStackTrace();
            System.exit(Deployment.NOT_RUN);
        }
    }

    private static Http.Message send(Deployment.Machine machine, String method, String target, String id)
            throws IOException {
        try (Socket socket = machine.connect()) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(Http.bytes(method + " " + target + " HTTP/1.1\r\nHost: " + Deployment.HOST
                + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " + Deployment.KEY
                + (method.equals("POST") ? "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n\r\n")));
            return Http.read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static String encode(String name) {
        StringBuilder text = new StringBuilder();
        for (byte one : name.getBytes(StandardCharsets.UTF_8)) {
            if (one < 0) text.append(String.format("%%%02X", one & 0xFF));
            else text.append((char) one);
        }
        return text.toString();
    }

    private static String printable(String target) {
        StringBuilder text = new StringBuilder();
        for (char one : target.toCharArray()) {
            if (one > '~') text.append(String.format("\\x%02x", (int) one));
            else text.append(one);
        }
        return text.toString();
    }
}
