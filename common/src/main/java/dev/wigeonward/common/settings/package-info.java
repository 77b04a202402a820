/** Typed INI settings, declared once, checked as a whole at start, with all problems reported together. */
package dev.wigeonward.common.settings;
