package io.burdockpin.codec.json;

/**
 * The process that writes an event file.
 *
 * @param program name of the program, for example {@code burdock-entry}
 * @param host name of the host it runs on
 * @param dataCentre the data centre of the host
 * @param incarnation number of the incarnation of the process
 */
public record ProcessDescription(String program, String host, String dataCentre, long incarnation) {

}
