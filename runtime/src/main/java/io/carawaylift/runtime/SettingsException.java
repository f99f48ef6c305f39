package io.carawaylift.runtime;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;

/** Thrown if a settings file is invalid. The message names the file, key, value and violated rule. */
public final class SettingsException extends CarawayliftException {
    private static final long serialVersionUID = 1L;

    SettingsException(String file, String key, String value, String rule) {
        super(ResultCode.SETTINGS_INVALID, file + ": " + key + " = " + value + ": " + rule);
    }
}
