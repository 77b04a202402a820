/** Typed settings from INI files. A process declares its keys once, checks the whole file and reports all problems. */
package dev.wigeonward.common.settings;
