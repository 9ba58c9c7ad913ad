package org.lycheemount.testing

import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 hash of [text] in lower-case hexadecimal digits, the form in which the configuration holds key hashes. */
fun sha256Hex(text: String): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
