package review2;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in a template of settings as DEPLOY.md describes: values, and sections for values and tables. */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-zA-Z.]+)}}\\n?(.*?)\\{\\{/\\1}}\\n?", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([a-zA-Z0-9.]+)}}");

    private Template() {}

    static String fill(String template, Map<String, Object> fields) {
        Matcher sections = SECTION.matcher(template);
        StringBuilder text = new StringBuilder();
        while (sections.find()) {
            sections.appendReplacement(text, "");
            Object value = fields.get(sections.group(1));
            if (value instanceof Map<?, ?> table) {
                table.forEach((key, entry) -> text.append(sections.group(2)
                        .replace("{{@}}", String.valueOf(key))
                        .replace("{{.}}", String.valueOf(entry))));
            } else if (value != null && !value.equals(false)) {
                text.append(values(sections.group(2), fields));
            }
        }
        sections.appendTail(text);
        return values(text.toString(), fields);
    }

    private static String values(String text, Map<String, Object> fields) {
        return VALUE.matcher(text)
                .replaceAll(found -> Matcher.quoteReplacement(String.valueOf(fields.getOrDefault(found.group(1), ""))));
    }
}
