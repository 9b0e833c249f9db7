/**
 * The clients' side: the server of their Thrift protocol, and a client for its health call. It may use {@code runtime}, and
 * not {@code engines}.
 */
package quincespar.program.clients;
