import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** A head: its first line and its other lines, and the body if it was read. */
    record Message(String start, List<String> lines, byte[] body) {
        String header(String name) {
            for (String line : lines) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) return line.substring(colon + 1).trim();
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Reads a whole message, or returns null at the end of the input. A body needs a length or chunks. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) return null;
        return new Message(head.start, head.lines, readBody(in, head));
    }

    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) return null;
        List<String> lines = new ArrayList<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) lines.add(line);
        return new Message(start, lines, new byte[0]);
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        String length = head.header("Content-Length");
        if (length != null) return in.readNBytes(Integer.parseInt(length));
        if (!"chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) return new byte[0];
        var body = new java.io.ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new IOException("the body is cut off");
            int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
            body.write(in.readNBytes(bytes));
            readLine(in);
            if (bytes == 0) return body.toByteArray();
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int one = in.read(); one != '\n'; one = in.read()) {
            if (one < 0) return line.length() == 0 ? null : line.toString();
            if (one != '\r') line.append((char) one);
        }
        return line.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String string(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
