import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP helpers: a server for stand-ins, and a client with one connection a call, as clients behind a balancer have. */
final class Http {
    private Http() {}

    /** Handles a request; a null answer sends nothing. */
    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, HttpExchange exchange, String body)
                throws Exception;
    }

    record Answer(int status, String body) {}

    static HttpServer serve(String host, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Map<String, String> query = new java.util.HashMap<>();
                String raw = exchange.getRequestURI().getRawQuery();
                for (String pair : raw == null ? new String[0] : raw.split("&")) {
                    int split = pair.indexOf('=');
                    query.put(
                            pair.substring(0, Math.max(0, split)),
                            java.net.URLDecoder.decode(pair.substring(split + 1), StandardCharsets.UTF_8));
                }
                Answer answer = handler.handle(
                        exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, exchange, body);
                if (answer == null) {
                    return;
                }
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().add("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) {
                    exchange.getResponseBody().write(bytes);
                }
                exchange.close();
            } catch (IOException e) {
                exchange.close();
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    /** Opens a connection and sends a request on it. */
    static Socket send(String host, int port, String method, String path, String headers, String body)
            throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setTcpNoDelay(true);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + bytes.length + "\r\n"
                + (bytes.length > 0 ? "Content-Type: application/json\r\n" : "") + "\r\n";
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
        return socket;
    }

    /** Reads a response; status 0 means that the connection ended or timed out first. */
    static Answer receive(Socket socket, int timeoutMillis) {
        try {
            socket.setSoTimeout(Math.max(1, timeoutMillis));
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return new Answer(0, "");
                }
                head.write(next);
            }
            String text = head.toString(StandardCharsets.UTF_8);
            int length = 0;
            for (String line : text.split("\r\n")) {
                if (line.toLowerCase().startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            byte[] body = in.readNBytes(length);
            return new Answer(Integer.parseInt(text.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }

    static Answer call(
            String host, int port, String method, String path, String headers, String body, int timeoutMillis) {
        try (Socket socket = send(host, port, method, path, headers, body)) {
            return receive(socket, timeoutMillis);
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }
}
