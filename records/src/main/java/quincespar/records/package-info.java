/** Binary encoding of Java records by reflection; knows nothing about what the records mean. */
package quincespar.records;
