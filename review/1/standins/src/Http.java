import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private static final int MAXIMUM_HEAD_BYTES = 65_536;

    private Http() {
    }

    /** The first line and the headers of a message; names are in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        /** The status of a response, or -1 if the first line is none of a response. */
        int status() {
            String[] words = firstLine.split(" ");
            boolean valid = words.length >= 2 && words[0].equals("HTTP/1.1") && words[1].matches("\\d{3}");
            return valid ? Integer.parseInt(words[1]) : -1;
        }

        int length() {
            String length = header("content-length");
            return length == null ? 0 : Integer.parseInt(length);
        }
    }

    /** A complete response, or what was wrong with it: then the status is -1 and the body holds the problem. */
    record Response(int status, Head head, byte[] body) {
        String header(String name) {
            return head == null ? null : head.header(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        static Response problem(String description) {
            return new Response(-1, null, description.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Reads a head. Returns null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no head: \"" + first + "\", then \"" + line + "\"");
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Head(first, headers);
    }

    /** Reads a line. Returns null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the stream ends inside the line " + line);
            }
            line.write(next);
            if (line.size() > MAXIMUM_HEAD_BYTES) throw new IOException("a line is too long");
        }
        String text = line.toString(StandardCharsets.UTF_8);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ends after " + bytes.length + " of " + length);
        return bytes;
    }

    /** Reads a response to a request with the given method. Throws if it is incomplete or none. */
    static Response readResponse(InputStream in, String method) throws IOException {
        Head head = readHead(in);
        if (head == null) throw new EOFException("the connection was closed without an answer");
        if (head.status() < 0) throw new IOException("no answer in the protocol: " + head.firstLine());
        if (head.status() == 100) return readResponse(in, method);
        byte[] body = new byte[0];
        if (!method.equals("HEAD") && head.status() != 204 && head.status() != 304) {
            if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
                body = readChunks(in);
            } else if (head.header("content-length") != null) {
                body = readExactly(in, head.length());
            } else {
                body = in.readAllBytes();
            }
        }
        return new Response(head.status(), head, body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("the connection was closed between two chunks");
            int length = Integer.parseInt(size.trim(), 16);
            body.write(readExactly(in, length));
            readLine(in);
            if (length == 0) return body.toByteArray();
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
