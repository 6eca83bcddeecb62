import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;

/**
 * A replica as a process of its own, which begins to answer before it has read the whole body, and ends its answer with
 * the connection. Writes its port, and a line when a half of an answer is sent.
 */
final class EarlyReplica {
    private static final int READ_FIRST_BYTES = 65_536;
    private static final int PAUSE_MILLISECONDS = 1_500;

    public static void main(String[] arguments) throws Exception {
        InetAddress address = InetAddress.getByName(arguments[0]);
        ReplicaStandIn replica = new ReplicaStandIn(address, READ_FIRST_BYTES, EarlyReplica::answer);
        System.out.println("port " + replica.port());
        Thread.sleep(Long.MAX_VALUE);
    }

    private static boolean answer(Http.Head head, InputStream in, OutputStream out) throws Exception {
        int first = Math.min(head.length(), READ_FIRST_BYTES);
        Http.readExactly(in, first);
        String type = "Content-Type: application/json\r\nConnection: close\r\n";
        out.write(Http.ascii(ReplicaStandIn.signedHead(head, "200 OK", type)));
        out.write(Http.ascii(ResetWhileSending.FIRST_HALF));
        out.flush();
        System.out.println("half " + head.header("X-Attempt-Id"));
        Thread.sleep(PAUSE_MILLISECONDS);
        Http.readExactly(in, head.length() - first);
        out.write(Http.ascii(ResetWhileSending.SECOND_HALF));
        return false;
    }
}
