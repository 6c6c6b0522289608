/** What operators do, one enum for each kind of object. */
package io.burdockpin.operator.action;
