/** Incremental decoders of HTTP/1.1 requests and responses. */
package quincespar.protocol.http;
