package dev.wigeonward.entry.caller;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpHeadersFactory;

/**
 * Request headers that record framing errors for which the HTTP decoder gives no answer: a content length beside a
 * transfer coding, which the decoder removes silently; two different content lengths; and headers of unbounded total
 * size, of which only the first fields are stored. Implemented as a dynamic proxy because the interface has over fifty
 * methods, of which three matter here.
 */
final class FramingHeaders implements InvocationHandler {
    /**
     * Maximum length of one field that the decoder reads. It is above every header limit, so that a request with a
     * longer field gets an error answer instead of a closed connection.
     */
    static final int MAX_FIELD_BYTES = 1 << 21;
    /** Maximum total size of the stored fields. A request above it is refused, whatever limit the rules set. */
    private static final long MAX_TOTAL_BYTES = 128 * 1_024;

    private static final HttpHeadersFactory PLAIN = DefaultHttpHeadersFactory.INSTANCE;

    private final HttpHeaders headers = PLAIN.newHeaders();
    private long bytes;
    private boolean ambiguous;

    private FramingHeaders() {}

    /** Second interface of the proxy, which reports framing errors. */
    interface Framing {
        /** Returns why the request must be refused, or empty if its framing is valid. */
        Optional<Failure> framingProblem();
    }

    /** Returns a factory that creates these headers for requests. */
    static HttpHeadersFactory factory() {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return (HttpHeaders) Proxy.newProxyInstance(
                        FramingHeaders.class.getClassLoader(),
                        new Class<?>[] {HttpHeaders.class, Framing.class},
                        new FramingHeaders());
            }

            @Override
            public HttpHeaders newTrailers() {
                return PLAIN.newTrailers();
            }

            @Override
            public boolean validateCookies() {
                return PLAIN.validateCookies();
            }

            @Override
            public boolean validateValues() {
                return PLAIN.validateValues();
            }
        };
    }

    /** Returns why the request with these headers must be refused, or empty if its framing is valid. */
    static Optional<Failure> problem(HttpHeaders headers) {
        return headers instanceof Framing framing ? framing.framingProblem() : Optional.empty();
    }

    @Override
    public Object invoke(Object proxy, Method method, Object[] arguments) throws Throwable {
        if (method.getDeclaringClass() == Framing.class) {
            return framingProblem();
        }
        boolean addsField = method.getName().equals("add") && arguments.length == 2;
        if (addsField && arguments[1] instanceof CharSequence value && !accept((CharSequence) arguments[0], value)) {
            return proxy;
        }
        boolean removes = method.getName().equals("remove") || method.getName().equals("getAndRemove");
        if (removes && isContentLength((CharSequence) arguments[0])) {
            ambiguous |= headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                    && headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        }
        try {
            Object result = method.invoke(headers, arguments);
            return result == headers ? proxy : result;
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private boolean accept(CharSequence name, CharSequence value) {
        bytes += name.length() + value.length();
        if (bytes > MAX_TOTAL_BYTES) {
            return false;
        }
        CharSequence length = isContentLength(name) ? headers.get(HttpHeaderNames.CONTENT_LENGTH) : null;
        if (length == null) {
            return true;
        }
        ambiguous |= !length.toString().contentEquals(value);
        return false;
    }

    private static boolean isContentLength(CharSequence name) {
        return name.toString().equalsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH.toString());
    }

    private Optional<Failure> framingProblem() {
        if (bytes > MAX_TOTAL_BYTES) {
            return Optional.of(
                    Failure.of(ErrorKind.HEADERS_TOO_LARGE, "the headers exceed %d bytes".formatted(MAX_TOTAL_BYTES)));
        }
        return ambiguous
                ? Optional.of(Failure.of(ErrorKind.MALFORMED_REQUEST, "the headers declare more than one body length"))
                : Optional.empty();
    }
}
