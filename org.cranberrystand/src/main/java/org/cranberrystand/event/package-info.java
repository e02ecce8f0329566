/** Catalogue of numbered log events, and the format of their details. */
package org.cranberrystand.event;
