/**
 * Codecs without sockets: Thrift for clients, RESP for engines, HTTP/1.1 and JSON for the change log, and a scan of
 * statements for the tables they use. It knows nothing of connections or of routing.
 */
package quincespar.protocol;
