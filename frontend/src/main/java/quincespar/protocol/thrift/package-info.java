/** The clients' protocol: the service {@code Front} in Thrift's strict binary protocol with framed messages. */
package quincespar.protocol.thrift;
