/** Identifiers and value types of the domain. */
package io.burdockpin.core.model;
