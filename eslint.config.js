import eslint from "@eslint/js";
import * as tseslint from "typescript-eslint";

export default tseslint.config({ ignores: ["target/", "out*/"] }, eslint.configs.recommended, {
  files: ["**/*.ts"],
  extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
  languageOptions: {
    parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
  },
  rules: {
    "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
    "@typescript-eslint/switch-exhaustiveness-check": "error",
  },
});
