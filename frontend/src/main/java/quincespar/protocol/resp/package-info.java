/** The engines' protocol: commands and replies as RESP arrays of bulk strings. */
package quincespar.protocol.resp;
